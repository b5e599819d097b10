/**
 * Interfaces and types for a platform adapter, which translates calls from callers, calls to
 * endpoints and published data.
 */
package org.knapweedcleat.router.forward.codec;
