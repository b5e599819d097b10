package org.knapweedcleat.router.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.knapweedcleat.core.message.PeerMessage;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages as frames and decodes frame bodies.
 *
 * <p>A body is one version byte, two type bytes and the message's components as a MessagePack
 * array; a frame is a four-byte body length followed by the body.
 */
public final class PeerCodec {

  /** Supported protocol version. */
  public static final byte VERSION = 1;

  /** Maximum body length in bytes. */
  public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  static final int HEADER_BYTES = 3;

  private final ObjectMapper mapper;

  private PeerCodec() {
    mapper = new ObjectMapper(new MessagePackFactory());
    mapper.setAnnotationIntrospector(new JsonArrayFormat());
    mapper.registerModule(ServiceProfileFormat.module());
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
  }

  /**
   * Creates a codec.
   *
   * @return the codec
   */
  public static PeerCodec create() {
    return new PeerCodec();
  }

  /**
   * Encodes a message as a frame.
   *
   * @param message the message
   * @return the length and the body
   * @throws IllegalArgumentException if the message type is not registered or the message is too
   *     long
   */
  public Buffer encodeFrame(PeerMessage message) {
    byte[] body = encodeBody(message);
    if (body.length > MAX_BODY_BYTES) {
      throw new IllegalArgumentException(
          "message exceeds the maximum body length: " + body.length + " bytes");
    }
    return Buffer.buffer(Integer.BYTES + body.length).appendInt(body.length).appendBytes(body);
  }

  /**
   * Encodes a message as a frame body.
   *
   * @param message the message
   * @return the version, type and components
   * @throws IllegalArgumentException if the message type is not registered
   */
  public byte[] encodeBody(PeerMessage message) {
    PeerMessageType type = PeerMessageType.of(message);
    try {
      byte[] content = mapper.writeValueAsBytes(message);
      return Buffer.buffer(HEADER_BYTES + content.length)
          .appendByte(VERSION)
          .appendShort(type.code())
          .appendBytes(content)
          .getBytes();
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode message of type " + type, e);
    }
  }

  /**
   * Decodes a frame body.
   *
   * @param body the version, type and components
   * @return the message, or the reason why it is rejected
   */
  public Either<FrameFault, PeerMessage> decodeBody(byte[] body) {
    if (body.length < HEADER_BYTES) {
      return Either.left(FrameFault.UNDERSIZED);
    }
    Buffer buffer = Buffer.buffer(body);
    if (buffer.getByte(0) != VERSION) {
      return Either.left(FrameFault.UNKNOWN_VERSION);
    }
    return PeerMessageType.ofCode(buffer.getShort(1))
        .toEither(FrameFault.UNKNOWN_TYPE)
        .flatMap(type -> decodeContent(body, type));
  }

  private Either<FrameFault, PeerMessage> decodeContent(byte[] body, PeerMessageType type) {
    try {
      int contentBytes = body.length - HEADER_BYTES;
      PeerMessage message = mapper.readValue(body, HEADER_BYTES, contentBytes, type.messageClass());
      return message == null ? Either.left(FrameFault.UNDECODABLE) : Either.right(message);
    } catch (IOException | RuntimeException e) {
      return Either.left(FrameFault.UNDECODABLE);
    }
  }
}
