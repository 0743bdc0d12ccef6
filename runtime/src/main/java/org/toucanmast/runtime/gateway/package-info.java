/**
 * The gateway of a database group: holds the connections to its endpoints, decides which statement
 * runs where and when, follows the primary and replaces it.
 */
package org.toucanmast.runtime.gateway;
