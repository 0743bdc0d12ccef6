/** Parts of the product that a deployment's settings switch on. */
package org.toucanmast.core.feature;
