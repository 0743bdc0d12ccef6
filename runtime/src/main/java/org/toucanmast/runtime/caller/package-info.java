/** The HTTP server for callers: request parsing, limits and responses. */
package org.toucanmast.runtime.caller;
