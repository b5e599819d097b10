/** Takes tokens from client accounts, here or at the instance that keeps them. */
package org.knapweedcleat.router.limit;
