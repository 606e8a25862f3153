/** Retry budgets, backoff and deadlines of the core engine. Both engines use the backoff. */
package org.hyssopswitch.core.retry;
