/**
 * Admission of operations within the rates of client accounts: which VMs hold an account's tokens, which operations wait
 * for one, and when refused callers should return.
 */
package org.hyssopswitch.core.admission;
