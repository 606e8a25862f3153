/** The demonstration: a deployment in one process, a short load, a fault and the report. */
package org.hyssopswitch.app.demo;
