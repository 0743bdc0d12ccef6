/** Processes the requests of callers: access control, admission, routing, retries and answers. */
package org.toucanmast.runtime.request;
