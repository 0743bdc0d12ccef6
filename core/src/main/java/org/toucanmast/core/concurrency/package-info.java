/** How many statements each endpoint of a group serves well at once, learned from its replies. */
package org.toucanmast.core.concurrency;
