/** Waiting work, served fairly by customer. */
package org.toucanmast.core.fairness;
