/** Failures as values, refusals of statements and the base exception. Shared by all modules of both engines. */
package org.hyssopswitch.core.failure;
