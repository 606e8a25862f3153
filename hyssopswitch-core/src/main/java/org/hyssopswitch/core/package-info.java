/**
 * Decision logic of a VM, without I/O: tables, decision systems and typed events and actions. Together with the proxy
 * module it forms the engine behind the PostgreSQL listener; the engine behind the users' platform shares some
 * packages.
 */
package org.hyssopswitch.core;
