/**
 * Messages that carry statements from an entry VM to the home of an endpoint, and answers back. Part of the engine
 * behind the PostgreSQL listener.
 */
package org.hyssopswitch.proxy.forward;
