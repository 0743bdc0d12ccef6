/** Detection of a failed primary and the order in which a new one is promoted. */
package org.toucanmast.core.promotion;
