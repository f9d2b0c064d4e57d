/**
 * The gateway's HTTP requests and answers in the product's own terms, and the dialect that a platform speaks.
 *
 * <p>Depends on the core only, and on Netty for header maps.
 */
package org.cornelcrank.gateway.http;
