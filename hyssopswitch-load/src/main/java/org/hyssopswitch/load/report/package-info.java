/** Reports of a load run as text, CSV and plot. */
package org.hyssopswitch.load.report;
