/** Stand-in of a database group: endpoints with terms, a replicated log, PostgreSQL sessions and faults. */
package org.hyssopswitch.standin.group;
