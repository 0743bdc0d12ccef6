/** Fair queueing of work by customer. */
package org.toucanmast.core.fairness;
