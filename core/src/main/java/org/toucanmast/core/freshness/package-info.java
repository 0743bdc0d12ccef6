/** Observed log positions of a primary, their age, and the position that a read requires. */
package org.toucanmast.core.freshness;
