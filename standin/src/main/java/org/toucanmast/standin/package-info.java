/** Stand-ins of the outside systems, and the tools that drive them; never on the product's path. */
package org.toucanmast.standin;
