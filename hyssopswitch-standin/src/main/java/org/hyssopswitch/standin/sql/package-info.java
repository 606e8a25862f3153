/** The few SQL shapes that the stand-in of a database group runs. */
package org.hyssopswitch.standin.sql;
