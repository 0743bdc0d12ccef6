/** Detection of a failed primary, promotion of a new one, and planned moves of a primary. */
package org.toucanmast.core.promotion;
