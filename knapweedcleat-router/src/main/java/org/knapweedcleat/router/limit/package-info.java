/** Takes rate-limit tokens of client accounts, locally or from the instance that keeps them. */
package org.knapweedcleat.router.limit;
