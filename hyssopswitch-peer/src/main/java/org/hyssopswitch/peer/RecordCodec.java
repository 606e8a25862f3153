package org.hyssopswitch.peer;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import org.msgpack.core.MessagePacker;

/** Writes a record as an array of its components, in order. */
final class RecordCodec implements ComponentCodec {

    private final Class<?> type;
    private final Constructor<?> constructor;
    private final Method[] accessors;
    private final ComponentCodec[] codecs;

    private RecordCodec(Class<?> type, Set<Class<?>> enclosing) {
        RecordComponent[] components = type.getRecordComponents();
        this.type = type;
        this.constructor = canonicalConstructor(type, components);
        this.accessors =
                Arrays.stream(components).map(RecordComponent::getAccessor).toArray(Method[]::new);
        Arrays.stream(accessors).forEach(a -> a.setAccessible(true));
        this.codecs = Arrays.stream(components)
                .map(c -> ComponentCodecUtils.codecFor(c.getGenericType(), enclosing))
                .toArray(ComponentCodec[]::new);
    }

    static RecordCodec of(Class<?> type) {
        return of(type, Set.of());
    }

    /** Creates the codec of a record that is a component of others; a record must not contain itself. */
    static RecordCodec of(Class<?> type, Set<Class<?>> enclosing) {
        if (!type.isRecord()) {
            throw new PeerException(type.getName() + " must be a record");
        }
        if (enclosing.contains(type)) {
            throw new PeerException(type.getName() + " must not contain itself");
        }
        Set<Class<?>> path = new HashSet<>(enclosing);
        path.add(type);
        return new RecordCodec(type, path);
    }

    @Override
    public void write(MessagePacker packer, Object value) throws IOException {
        packer.packArrayHeader(codecs.length);
        for (int i = 0; i < codecs.length; i++) {
            codecs[i].write(packer, get(accessors[i], value));
        }
    }

    @Override
    public Object read(BoundedUnpacker in) throws IOException {
        int count = in.arrayLength();
        if (count != codecs.length) {
            throw new IOException(type.getSimpleName() + " needs " + codecs.length + " components, but has " + count);
        }
        Object[] values = new Object[count];
        for (int i = 0; i < count; i++) {
            values[i] = codecs[i].read(in);
        }
        return create(values);
    }

    private static Constructor<?> canonicalConstructor(Class<?> type, RecordComponent[] components) {
        try {
            Class<?>[] types =
                    Arrays.stream(components).map(RecordComponent::getType).toArray(Class[]::new);
            Constructor<?> result = type.getDeclaredConstructor(types);
            result.setAccessible(true);
            return result;
        } catch (NoSuchMethodException e) {
            throw new PeerException("no canonical constructor of " + type.getName(), e);
        }
    }

    private static Object get(Method accessor, Object value) {
        try {
            return accessor.invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new PeerException("cannot read " + accessor, e);
        }
    }

    private Object create(Object[] values) throws IOException {
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            throw new IOException(type.getSimpleName() + " refused its components: " + e.getCause(), e);
        } catch (ReflectiveOperationException e) {
            throw new PeerException("cannot create " + type.getName(), e);
        }
    }
}
