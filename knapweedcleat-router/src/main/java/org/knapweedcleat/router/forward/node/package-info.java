/** Puts the parts of a forwarding instance together. */
package org.knapweedcleat.router.forward.node;
