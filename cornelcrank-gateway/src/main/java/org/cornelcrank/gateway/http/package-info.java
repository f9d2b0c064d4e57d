/**
 * The platform-independent form of the gateway's HTTP requests and responses, and the contract of a platform's dialect.
 *
 * <p>Depends on the core only, and on Netty for header maps.
 */
package org.cornelcrank.gateway.http;
