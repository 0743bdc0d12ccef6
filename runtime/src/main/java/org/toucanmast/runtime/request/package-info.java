/** The path of a request from its caller to an endpoint and back. */
package org.toucanmast.runtime.request;
