/** Transaction pooling: the entry VM sends statements straight to endpoints over its own bounded connections. */
package org.hyssopswitch.pool;
