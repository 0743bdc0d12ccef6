/**
 * The gateway of a database group: holds the connections to its endpoints, decides where and when
 * each statement runs, tracks the primary, and replaces it when it is lost or leaving.
 */
package org.toucanmast.runtime.gateway;
