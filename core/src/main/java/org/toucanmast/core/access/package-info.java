/** Who holds an API key, asked at the time of acting for a customer. */
package org.toucanmast.core.access;
