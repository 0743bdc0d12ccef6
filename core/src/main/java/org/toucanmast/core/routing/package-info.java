/** The choice of an endpoint for a request. */
package org.toucanmast.core.routing;
