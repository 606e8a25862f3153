/**
 * The engine for the users' platform: the VM that a caller connects to sends its statements directly to endpoints over
 * its own bounded connections (transaction pooling).
 */
package org.hyssopswitch.pool;
