/** What is known about a database's log, how old that knowledge is, and what reads need of it. */
package org.toucanmast.core.freshness;
