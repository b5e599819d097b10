/** The published document: what operators declare, checked and immutable. */
package org.knapweedcleat.core.config;
