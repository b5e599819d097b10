/** Puts the parts of an instance together and runs them on one event loop. */
package org.knapweedcleat.router.node;
