/** Bounds the connections of listeners and the memory that their clients hold. */
package org.knapweedcleat.router.listener;
