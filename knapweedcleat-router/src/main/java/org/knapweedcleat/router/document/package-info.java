/** Applies documents from the platform or peers; the revision in force never decreases. */
package org.knapweedcleat.router.document;
