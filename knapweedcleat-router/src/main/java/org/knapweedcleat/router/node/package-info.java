/** Assembles the components of an instance and runs them on one event loop. */
package org.knapweedcleat.router.node;
