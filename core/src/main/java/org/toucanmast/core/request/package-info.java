/** Requests, their outcomes and the truth about refusals. */
package org.toucanmast.core.request;
