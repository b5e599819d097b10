/** The router process. */
package org.knapweedcleat.router;
