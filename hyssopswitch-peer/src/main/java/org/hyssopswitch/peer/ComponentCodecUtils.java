package org.hyssopswitch.peer;

import io.vavr.control.Option;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessagePacker;

/** Finds the codec of a component's type. */
final class ComponentCodecUtils {

    private static final Map<Class<?>, ComponentCodec> SCALARS = scalars();

    private ComponentCodecUtils() {}

    static ComponentCodec codecFor(Type type, Set<Class<?>> enclosing) {
        if (type instanceof ParameterizedType generic) {
            return genericCodec(generic, enclosing);
        }
        if (!(type instanceof Class<?> plain)) {
            throw new PeerException("a component of type " + type + " cannot be encoded");
        }
        ComponentCodec scalar = SCALARS.get(plain);
        if (scalar != null) {
            return scalar;
        }
        if (plain.isEnum()) {
            return enumCodec(List.of(plain.getEnumConstants()));
        }
        if (plain.isSealed()) {
            return sealedCodec(plain, enclosing);
        }
        return RecordCodec.of(plain, enclosing);
    }

    private static ComponentCodec genericCodec(ParameterizedType type, Set<Class<?>> enclosing) {
        List<ComponentCodec> arguments = Arrays.stream(type.getActualTypeArguments())
                .map(t -> codecFor(t, enclosing))
                .toList();
        Type raw = type.getRawType();
        if (raw == List.class) {
            return listCodec(arguments.get(0));
        }
        if (raw == Set.class) {
            return setCodec(arguments.get(0));
        }
        if (raw == Optional.class) {
            return optionalCodec(arguments.get(0));
        }
        if (raw == Option.class) {
            return optionCodec(arguments.get(0));
        }
        if (raw == Map.class) {
            return mapCodec(arguments.get(0), arguments.get(1));
        }
        throw new PeerException("a component of type " + type + " cannot be encoded");
    }

    private static Map<Class<?>, ComponentCodec> scalars() {
        ComponentCodec ints =
                codec((p, v) -> p.packInt((Integer) v), in -> in.values().unpackInt());
        ComponentCodec longs =
                codec((p, v) -> p.packLong((Long) v), in -> in.values().unpackLong());
        ComponentCodec shorts =
                codec((p, v) -> p.packShort((Short) v), in -> in.values().unpackShort());
        ComponentCodec bytes =
                codec((p, v) -> p.packByte((Byte) v), in -> in.values().unpackByte());
        ComponentCodec doubles =
                codec((p, v) -> p.packDouble((Double) v), in -> in.values().unpackDouble());
        ComponentCodec floats =
                codec((p, v) -> p.packFloat((Float) v), in -> in.values().unpackFloat());
        ComponentCodec booleans =
                codec((p, v) -> p.packBoolean((Boolean) v), in -> in.values().unpackBoolean());
        return Map.ofEntries(
                Map.entry(int.class, ints),
                Map.entry(Integer.class, ints),
                Map.entry(long.class, longs),
                Map.entry(Long.class, longs),
                Map.entry(short.class, shorts),
                Map.entry(Short.class, shorts),
                Map.entry(byte.class, bytes),
                Map.entry(Byte.class, bytes),
                Map.entry(double.class, doubles),
                Map.entry(Double.class, doubles),
                Map.entry(float.class, floats),
                Map.entry(Float.class, floats),
                Map.entry(boolean.class, booleans),
                Map.entry(Boolean.class, booleans),
                Map.entry(String.class, codec((p, v) -> p.packString((String) v), BoundedUnpacker::string)),
                Map.entry(byte[].class, codec(ComponentCodecUtils::writeBinary, BoundedUnpacker::binary)));
    }

    private static void writeBinary(MessagePacker packer, Object value) throws IOException {
        byte[] bytes = (byte[]) value;
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private static ComponentCodec enumCodec(List<?> constants) {
        return codec((p, v) -> p.packInt(constants.indexOf(v)), in -> {
            int index = in.values().unpackInt();
            if (index < 0 || index >= constants.size()) {
                throw new IOException("no enum constant has the number " + index);
            }
            return constants.get(index);
        });
    }

    /** Writes the position of the record among the permitted ones, then the record. */
    private static ComponentCodec sealedCodec(Class<?> type, Set<Class<?>> enclosing) {
        List<Class<?>> permitted = List.of(type.getPermittedSubclasses());
        List<ComponentCodec> codecs =
                permitted.stream().map(t -> codecFor(t, enclosing)).toList();
        return codec(
                (p, v) -> {
                    int index = permitted.indexOf(v.getClass());
                    p.packInt(index);
                    codecs.get(index).write(p, v);
                },
                in -> {
                    int index = in.values().unpackInt();
                    if (index < 0 || index >= codecs.size()) {
                        throw new IOException("no kind of " + type.getSimpleName() + " has the number " + index);
                    }
                    return codecs.get(index).read(in);
                });
    }

    private static ComponentCodec listCodec(ComponentCodec element) {
        return codec((p, v) -> writeAll(p, (List<?>) v, element), in -> {
            List<Object> result = new ArrayList<>();
            readAll(in, element, result);
            return List.copyOf(result);
        });
    }

    private static ComponentCodec setCodec(ComponentCodec element) {
        return codec((p, v) -> writeAll(p, (Set<?>) v, element), in -> {
            Set<Object> result = new LinkedHashSet<>();
            readAll(in, element, result);
            return result;
        });
    }

    private static ComponentCodec optionalCodec(ComponentCodec element) {
        return codec(
                (p, v) -> {
                    Optional<?> optional = (Optional<?>) v;
                    p.packBoolean(optional.isPresent());
                    if (optional.isPresent()) {
                        element.write(p, optional.get());
                    }
                },
                in -> in.values().unpackBoolean() ? Optional.of(element.read(in)) : Optional.empty());
    }

    private static ComponentCodec optionCodec(ComponentCodec element) {
        ComponentCodec optional = optionalCodec(element);
        return codec(
                (p, v) -> optional.write(p, ((Option<?>) v).toJavaOptional()),
                in -> Option.ofOptional((Optional<?>) optional.read(in)));
    }

    private static ComponentCodec mapCodec(ComponentCodec key, ComponentCodec value) {
        return codec(
                (p, v) -> {
                    Map<?, ?> map = (Map<?, ?>) v;
                    p.packMapHeader(map.size());
                    for (Map.Entry<?, ?> entry : map.entrySet()) {
                        key.write(p, entry.getKey());
                        value.write(p, entry.getValue());
                    }
                },
                in -> {
                    Map<Object, Object> result = new LinkedHashMap<>();
                    int count = in.mapLength();
                    for (int i = 0; i < count; i++) {
                        result.put(key.read(in), value.read(in));
                    }
                    return result;
                });
    }

    private static void writeAll(MessagePacker packer, Collection<?> values, ComponentCodec element)
            throws IOException {
        packer.packArrayHeader(values.size());
        for (Object value : values) {
            element.write(packer, value);
        }
    }

    private static void readAll(BoundedUnpacker in, ComponentCodec element, Collection<Object> target)
            throws IOException {
        int count = in.arrayLength();
        for (int i = 0; i < count; i++) {
            target.add(element.read(in));
        }
    }

    private static ComponentCodec codec(Writer writer, Reader reader) {
        return new SimpleComponentCodec(writer, reader);
    }

    /** Writes one value. */
    private interface Writer {
        void write(MessagePacker packer, Object value) throws IOException;
    }

    /** Reads one value. */
    private interface Reader {
        Object read(BoundedUnpacker in) throws IOException;
    }

    private record SimpleComponentCodec(Writer writer, Reader reader) implements ComponentCodec {
        @Override
        public void write(MessagePacker packer, Object value) throws IOException {
            writer.write(packer, value);
        }

        @Override
        public Object read(BoundedUnpacker in) throws IOException {
            return reader.read(in);
        }
    }
}
