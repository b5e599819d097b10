/** The decisions that serving a request asks of this or another instance. */
package org.knapweedcleat.router.gate;
