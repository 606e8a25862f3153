/**
 * The process of a VM in the engine behind the PostgreSQL listener: it serves callers, forwards their statements to the
 * homes of the endpoints, and listens for operations.
 */
package org.hyssopswitch.proxy;
