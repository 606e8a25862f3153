/** The hyssopswitch binary: VM process and demo. */
package org.hyssopswitch.app;
