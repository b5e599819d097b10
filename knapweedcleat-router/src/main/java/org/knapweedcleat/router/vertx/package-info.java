/** Interoperability of Vert.x futures and Mutiny. */
package org.knapweedcleat.router.vertx;
