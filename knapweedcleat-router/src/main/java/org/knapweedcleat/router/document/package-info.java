/** Keeps the document in force: from the platform, from other instances, never backwards. */
package org.knapweedcleat.router.document;
