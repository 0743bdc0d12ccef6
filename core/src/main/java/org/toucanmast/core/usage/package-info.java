/** Reports of how many requests of each customer endpoints began to run. */
package org.toucanmast.core.usage;
