/** Entry points of the router process. */
package org.knapweedcleat.router;
