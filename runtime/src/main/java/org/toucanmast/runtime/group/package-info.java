/**
 * Observes database groups, confirms the answers of primaries, and orders promotions and planned
 * moves.
 */
package org.toucanmast.runtime.group;
