/** Selection of the endpoint that serves a request. */
package org.toucanmast.core.routing;
