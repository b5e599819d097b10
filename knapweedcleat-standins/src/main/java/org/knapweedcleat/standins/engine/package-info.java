/** Stub model engine with continuous batching, limited memory and a prefix cache. */
package org.knapweedcleat.standins.engine;
