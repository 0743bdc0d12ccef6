/** Kinds of requests, their outcomes, refusals and the retry budget. */
package org.toucanmast.core.request;
