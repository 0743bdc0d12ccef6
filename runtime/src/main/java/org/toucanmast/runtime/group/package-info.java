/** Observation of database groups, confirmation of answers and promotion. */
package org.toucanmast.runtime.group;
