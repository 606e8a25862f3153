/** Retry budgets, backoff and deadlines. */
package org.hyssopswitch.core.retry;
